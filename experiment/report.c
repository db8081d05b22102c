#include <string.h>

#include "experiment/suite.h"

static const char *
policy_name(const struct suite *suite, size_t policy)
{
	return SUITE_POLICIES[suite->policies[policy]].name;
}

static void
print_text_point(
    const struct suite *suite, size_t fault, size_t load, FILE *out)
{
	fprintf(out, "\n%s, load %.0f %%, fault %s, %zu seeds: mean (sd)\n",
	    suite->params.name, suite->loads[load] * 100,
	    fault_name(suite->faults[fault]), suite->seeds);
	fprintf(out, "%-16s", "measure");
	for (size_t i = 0; i < suite->policy_count; i++)
		fprintf(out, " %17s", policy_name(suite, i));
	fputc('\n', out);
	for (size_t m = 0; m < MEASURE_COUNT; m++) {
		fprintf(out, "%-16s", MEASURES[m].name);
		for (size_t i = 0; i < suite->policy_count; i++) {
			struct suite_statistic statistic =
			    suite_result_statistic(suite, fault, load, i, m);
			char text[64];

			snprintf(text, sizeof(text), "%.4g (%.2g)",
			    statistic.mean, statistic.deviation);
			fprintf(out, " %17s", text);
		}
		fprintf(out, " %s\n", MEASURES[m].unit);
	}
}

void
suite_print_text(const struct suite *suite, FILE *out)
{
	for (size_t fault = 0; fault < suite->fault_count; fault++) {
		for (size_t load = 0; load < suite->load_count; load++)
			print_text_point(suite, fault, load, out);
	}
}

static void
print_csv_point(const struct suite *suite, size_t fault, size_t load,
    size_t policy, FILE *out)
{
	for (size_t seed = 0; seed < suite->seeds; seed++) {
		const struct measures *result =
		    suite_result(suite, fault, load, policy, seed);

		fprintf(out, "%s,%s,%g,%s,%zu", suite->params.name,
		    fault_name(suite->faults[fault]), suite->loads[load],
		    policy_name(suite, policy), suite->first_seed + seed);
		for (size_t m = 0; m < MEASURE_COUNT; m++)
			fprintf(out, ",%g", measure_value(result, m));
		fputc('\n', out);
	}
}

static void
print_points(const struct suite *suite, FILE *out,
    void (*print)(const struct suite *, size_t, size_t, size_t, FILE *))
{
	for (size_t fault = 0; fault < suite->fault_count; fault++) {
		for (size_t load = 0; load < suite->load_count; load++) {
			for (size_t i = 0; i < suite->policy_count; i++)
				print(suite, fault, load, i, out);
		}
	}
}

void
suite_print_csv(const struct suite *suite, FILE *out)
{
	fprintf(out, "deployment,fault,load,policy,seed");
	for (size_t m = 0; m < MEASURE_COUNT; m++)
		fprintf(out, ",%s", MEASURES[m].name);
	fputc('\n', out);
	print_points(suite, out, print_csv_point);
}

static void
print_json_point(const struct suite *suite, size_t fault, size_t load,
    size_t policy, FILE *out)
{
	fprintf(out,
	    "{\"deployment\":\"%s\",\"fault\":\"%s\",\"load\":%g,"
	    "\"policy\":\"%s\",\"seeds\":%zu",
	    suite->params.name, fault_name(suite->faults[fault]),
	    suite->loads[load], policy_name(suite, policy), suite->seeds);
	for (size_t m = 0; m < MEASURE_COUNT; m++) {
		struct suite_statistic statistic =
		    suite_result_statistic(suite, fault, load, policy, m);

		fprintf(out, ",\"%s\":{\"mean\":%g,\"deviation\":%g}",
		    MEASURES[m].name, statistic.mean, statistic.deviation);
	}
	fputs("}\n", out);
}

void
suite_print_json(const struct suite *suite, FILE *out)
{
	print_points(suite, out, print_json_point);
}

static void
print_gnuplot_data(const struct suite *suite, size_t measure, FILE *out)
{
	fprintf(out, "$%s << EOD\nload", MEASURES[measure].name);
	for (size_t p = 0; p < suite->policy_count; p++)
		fprintf(out, " %s", policy_name(suite, p));
	fputc('\n', out);
	for (size_t l = 0; l < suite->load_count; l++) {
		fprintf(out, "%g", suite->loads[l] * 100);
		for (size_t p = 0; p < suite->policy_count; p++)
			fprintf(out, " %g",
			    suite_result_statistic(suite, 0, l, p, measure)
				.mean);
		fputc('\n', out);
	}
	fputs("EOD\n", out);
}

void
suite_print_gnuplot(const struct suite *suite, FILE *out)
{
	fputs("set key autotitle columnhead outside noenhanced\n"
	      "set xlabel 'load (%)'\nset logscale y\n"
	      "set terminal png size 1000,600\n",
	    out);
	for (size_t m = 0; m < MEASURE_COUNT; m++) {
		if (strcmp(MEASURES[m].name, "latency_mean") != 0 &&
		    strcmp(MEASURES[m].name, "latency_p95") != 0 &&
		    strcmp(MEASURES[m].name, "wasted") != 0)
			continue;
		print_gnuplot_data(suite, m, out);
		fprintf(out,
		    "set output '%s-%s.png'\nset title '%s: %s (%s)'\n"
		    "plot for [i=2:%zu] $%s using 1:i with linespoints\n",
		    suite->params.name, MEASURES[m].name, suite->params.name,
		    MEASURES[m].text, MEASURES[m].unit, suite->policy_count + 1,
		    MEASURES[m].name);
	}
}
