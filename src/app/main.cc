#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "app/command_line.h"

int main(int argc, char** argv) {
  const int exit_code = limpetrudder::RunCommandLine(argc, argv);
  std::cout.flush();
  std::fflush(nullptr);
  // NOTE Skips the destructors of the libraries' global objects: the one of
  // log4cplus waits for threads of its own that may not end.
  std::_Exit(exit_code);
}
