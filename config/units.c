#include <ctype.h>
#include <errno.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "config/units.h"

struct unit {
	const char *name;
	int64_t factor;
};

static const struct unit durations[] = {
    {"us", 1},
    {"ms", US_PER_MS},
    {"s", US_PER_S},
    {"min", (int64_t)60 * US_PER_S},
    {"h", (int64_t)3600 * US_PER_S},
    {NULL, 0},
};

static const struct unit sizes[] = {
    {"B", 1},
    {"KiB", (int64_t)1 << 10},
    {"MiB", (int64_t)1 << 20},
    {"GiB", (int64_t)1 << 30},
    {NULL, 0},
};

static const struct unit no_units[] = {
    {"", 1},
    {NULL, 0},
};

/* Parses the digits after a decimal point, if there is one, as a fraction of
 * the unit. */
static bool
parse_fraction(char **pos, bool integer_only, double *fraction)
{
	char *start = *pos + 1;

	*fraction = 0;
	if (**pos != '.')
		return true;
	if (integer_only || !isdigit((unsigned char)*start))
		return false;
	*fraction = strtod(*pos, pos);
	return true;
}

static bool
parse(const char *text, const struct unit *units, int64_t *value)
{
	long long number;
	double fraction;
	char *end;

	if (!isdigit((unsigned char)*text))
		return false;
	errno = 0;
	number = strtoll(text, &end, 10);
	if (errno != 0 || !parse_fraction(&end, units == no_units, &fraction))
		return false;
	while (*end == ' ')
		end++;
	for (; units->name != NULL; units++) {
		if (strcmp(units->name, end) != 0)
			continue;
		if (__builtin_mul_overflow(
			(int64_t)number, units->factor, value))
			return false;
		*value += (int64_t)(fraction * (double)units->factor);
		return true;
	}
	return false;
}

bool
units_parse_duration(const char *text, int64_t *us)
{
	return parse(text, durations, us);
}

bool
units_parse_size(const char *text, int64_t *bytes)
{
	return parse(text, sizes, bytes);
}

bool
units_parse_count(const char *text, int64_t *count)
{
	return parse(text, no_units, count);
}
