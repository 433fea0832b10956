#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "app/command_line.h"

int main(int argc, char** argv) {
  const int exit_code = limpetrudder::RunCommandLine(argc, argv);
  std::cout.flush();
  std::fflush(nullptr);
  // NOTE Skips the destructors of libraries' globals: log4cplus waits there for
  // threads of its own that may not end.
  std::_Exit(exit_code);
}
