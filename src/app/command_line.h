#ifndef APP_COMMAND_LINE_H_
#define APP_COMMAND_LINE_H_

namespace limpetrudder {

// Runs the command that the arguments name and returns the exit code: 0 done,
// 1 refused or failed, 2 the arguments are invalid, 3 the stop cut off requests
// in flight, 4 the settings are faulty.
int RunCommandLine(int argc, char** argv);

}  // namespace limpetrudder

#endif  // APP_COMMAND_LINE_H_
