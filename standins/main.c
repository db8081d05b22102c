/** @file
 * main() of the stand-ins. The build defines STANDIN_PROGRAM as the program to
 * run.
 */
#include "standins/programs.h"

int
main(int argc, char **argv)
{
	return standin_main(&STANDIN_PROGRAM, argc, argv);
}
