#include "app/command_line.h"

int main(int argc, char** argv) {
  return limpetrudder::RunCommandLine(argc, argv);
}
