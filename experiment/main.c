#include "experiment/experiment.h"

int
main(int argc, char **argv)
{
	return experiment_main(argc, argv);
}
