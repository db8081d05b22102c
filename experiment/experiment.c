#include "experiment/experiment.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#include "common/clock.h"
#include "experiment/decision_cost.h"
#include "experiment/suite.h"

enum output {
	OUTPUT_TEXT,
	OUTPUT_TARGETS,
	OUTPUT_CSV,
	OUTPUT_JSON,
	OUTPUT_GNUPLOT,
	OUTPUT_COUNT,
};

static const char *const OUTPUT_NAMES[OUTPUT_COUNT] = {
    [OUTPUT_TEXT] = "text",
    [OUTPUT_TARGETS] = "targets",
    [OUTPUT_CSV] = "csv",
    [OUTPUT_JSON] = "json",
    [OUTPUT_GNUPLOT] = "gnuplot",
};

enum {
	DEFAULT_SEEDS = 20,
	OPTION_DECISION_COST = 0x100,
};

/** Parsed command line. */
struct command {
	struct suite suite;
	enum output output;
	bool policies_given;
	bool decision_cost;
	struct findings findings;
};

static const struct argp_option OPTIONS[] = {
    {"parameters", 'c', "FILE", 0, "deployment, engines and traffic"},
    {"load", 'l', "LIST", 0, "loads in percent (70,90,110)"},
    {"policy", 'p', "LIST", 0,
	"policies or groups of them: baselines, ablation, all (baselines)"},
    {"fault", 'f', "LIST", 0, "faults, or all (none)"},
    {"seeds", 's', "COUNT", 0, "number of seeds per data point (20)"},
    {"first-seed", 'S', "SEED", 0, "first seed (1)"},
    {"output", 'o', "FORM", 0, "text, targets, csv, json or gnuplot (text)"},
    {"decision-cost", OPTION_DECISION_COST, NULL, 0,
	"instead, time scheduling decisions with 12, 77 and 770 servers"},
    {0},
};

/* Adds the policies that a policy's or group's name stands for. Returns false
 * if the name is unknown. The product's policy is always in the suite. */
static bool
command_add_policies(struct suite *suite, const char *word)
{
	size_t before = suite->policy_count;

	for (size_t i = 0; SUITE_POLICIES[i].name != NULL; i++) {
		const struct suite_policy *policy = &SUITE_POLICIES[i];
		bool group;

		if (i == SUITE_PRODUCT)
			continue;
		group = strcmp(word, "all") == 0 ||
		    (strcmp(word, "baselines") == 0 && policy->baseline) ||
		    (strcmp(word, "ablation") == 0 && !policy->baseline);

		if (!group && strcmp(policy->name, word) != 0)
			continue;
		if (suite->policy_count < SUITE_LIST_MAX)
			suite->policies[suite->policy_count++] = i;
	}
	return suite->policy_count > before || strcmp(word, "guavakeel") == 0;
}

/* Adds a load, given in percent. */
static bool
command_add_load(struct suite *suite, const char *word)
{
	double load = strtod(word, NULL) / 100;

	if (load <= 0 || suite->load_count == SUITE_LIST_MAX)
		return false;
	suite->loads[suite->load_count++] = load;
	return true;
}

static bool
command_add_fault(struct suite *suite, const char *word)
{
	bool found = false;

	for (int i = 0; i < FAULT_COUNT; i++) {
		enum fault fault = (enum fault)i;

		if (strcmp(word, "all") != 0 &&
		    strcmp(word, fault_name(fault)) != 0)
			continue;
		if (suite->fault_count < SUITE_LIST_MAX)
			suite->faults[suite->fault_count++] = fault;
		found = true;
	}
	return found;
}

static void
command_add_list(struct command *command, const char *option, char *list,
    bool (*add)(struct suite *, const char *))
{
	char *save = NULL;

	for (char *word = strtok_r(list, ",", &save); word != NULL;
	     word = strtok_r(NULL, ",", &save)) {
		if (!add(&command->suite, word))
			finding_add(&command->findings, option, 0,
			    "unknown value: %s", word);
	}
}

static void
command_set_output(struct command *command, const char *word)
{
	for (int i = 0; i < OUTPUT_COUNT; i++) {
		if (strcmp(word, OUTPUT_NAMES[i]) != 0)
			continue;
		command->output = (enum output)i;
		return;
	}
	finding_add(
	    &command->findings, "--output", 0, "unknown value: %s", word);
}

static error_t
command_parse(int key, char *arg, struct argp_state *state)
{
	struct command *command = state->input;

	switch (key) {
	case 'c':
		params_load(&command->suite.params, arg, &command->findings);
		return 0;
	case 'l':
		command_add_list(command, "--load", arg, command_add_load);
		return 0;
	case 'p':
		command->policies_given = true;
		command_add_list(
		    command, "--policy", arg, command_add_policies);
		return 0;
	case 'f':
		command_add_list(command, "--fault", arg, command_add_fault);
		return 0;
	case 's':
		command->suite.seeds = strtoul(arg, NULL, 10);
		if (command->suite.seeds == 0)
			finding_add(&command->findings, "--seeds", 0,
			    "not a positive number: %s", arg);
		return 0;
	case 'S':
		command->suite.first_seed = strtoul(arg, NULL, 10);
		return 0;
	case 'o':
		command_set_output(command, arg);
		return 0;
	case OPTION_DECISION_COST:
		command->decision_cost = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void
command_init(struct command *command)
{
	struct suite *suite = &command->suite;

	findings_init(&command->findings);
	params_defaults(&suite->params);
	suite->seeds = DEFAULT_SEEDS;
	suite->first_seed = 1;
	suite->policies[suite->policy_count++] = SUITE_PRODUCT;
}

/* Sets the lists that the command line left empty. */
static void
command_complete(struct command *command)
{
	struct suite *suite = &command->suite;

	if (!command->policies_given)
		command_add_policies(suite, "baselines");
	if (suite->fault_count == 0)
		suite->faults[suite->fault_count++] = FAULT_NONE;
	if (suite->load_count > 0)
		return;
	command_add_load(suite, "70");
	command_add_load(suite, "90");
	command_add_load(suite, "110");
}

static void
command_print(const struct command *command, FILE *out)
{
	const struct suite *suite = &command->suite;

	switch (command->output) {
	case OUTPUT_TEXT:
		suite_print_text(suite, out);
		return;
	case OUTPUT_TARGETS:
		suite_print_targets(suite, out);
		return;
	case OUTPUT_CSV:
		suite_print_csv(suite, out);
		return;
	case OUTPUT_JSON:
		suite_print_json(suite, out);
		return;
	case OUTPUT_GNUPLOT:
		suite_print_gnuplot(suite, out);
		return;
	case OUTPUT_COUNT:
		return;
	}
}

int
experiment_main(int argc, char **argv)
{
	static const struct argp argp = {OPTIONS, command_parse, NULL,
	    "Runs the scheduler against simulated model engines in virtual "
	    "time.",
	    NULL, NULL, NULL};
	struct command command = {0};

	command_init(&command);
	if (argp_parse(&argp, argc, argv, 0, NULL, &command) != 0)
		return EXIT_FAILURE;
	if (command.findings.count > 0) {
		findings_print(&command.findings, stderr);
		findings_reset(&command.findings);
		return EXIT_FAILURE;
	}
	if (command.decision_cost) {
		decision_cost_print(stdout);
		return EXIT_SUCCESS;
	}
	command_complete(&command);
	suite_run(&command.suite);
	command_print(&command, stdout);
	free(command.suite.results);
	return EXIT_SUCCESS;
}
