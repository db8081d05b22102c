/** @file
 * Entry of every stand-in; the build defines STANDIN_PROGRAM.
 */
#include "standins/programs.h"

int
main(int argc, char **argv)
{
	return standin_main(&STANDIN_PROGRAM, argc, argv);
}
