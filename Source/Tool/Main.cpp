#include <iostream>

#include "Commands.h"

int main(int argc, char **argv)
{
    return Currantfall::Tool::runTool(argc, argv, std::cout, std::cerr);
}
