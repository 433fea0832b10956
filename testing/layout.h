#ifndef TESTING_LAYOUT_H_
#define TESTING_LAYOUT_H_

#include <string>

namespace limpetrudder::testbed {

// Writes the files of one local fleet for tests to `directory`: the operators'
// document, the settings of each instance, the stand-in targets of each data
// centre and the platform's list of instances. `kind` is "demo", "blue-mahoe",
// "loft" or "fleet", which has `instances` instances in one data centre; ports
// count up from `base_port`. Returns false for an unknown kind.
bool WriteLayout(const std::string& kind,
                 const std::string& directory,
                 int base_port,
                 int instances);

}  // namespace limpetrudder::testbed

#endif  // TESTING_LAYOUT_H_
