# Defines one library of the workspace.
#   limpet_module(NAME SOURCES a.cc ... DEPENDS lib ...)
function(limpet_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(limpet_${name} STATIC ${ARG_SOURCES})
  target_include_directories(limpet_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src)
  target_link_libraries(limpet_${name} PUBLIC ${ARG_DEPENDS})
endfunction()

# Defines the tests of one module: one ctest entry for each promise of the brief
# that the module proves (suite "promise-N"), and one for the rest.
#   limpet_module_tests(NAME SOURCES a.cc ... PROMISES 1 2 ...)
# and one for each of SUITES, so that KNOWN-RED.txt can name it.
function(limpet_module_tests name)
  cmake_parse_arguments(ARG "" "" "SOURCES;PROMISES;SUITES;DEPENDS" ${ARGN})
  set(target ${name}_tests)
  add_executable(${target} ${ARG_SOURCES}
    ${CMAKE_SOURCE_DIR}/src/framework/tests/test_main.cc)
  target_link_libraries(${target} PRIVATE limpet_${name} ${ARG_DEPENDS})
  target_compile_definitions(${target} PRIVATE
    TEST_DATA_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/data"
    DOCS_DIR="${CMAKE_SOURCE_DIR}/docs")
  set(excluded "promise-*")
  foreach(suite ${ARG_SUITES})
    string(APPEND excluded ",${suite}")
    add_test(NAME ${name}.${suite} COMMAND ${target} --test-suite=${suite})
    set_tests_properties(${name}.${suite} PROPERTIES
      FAIL_REGULAR_EXPRESSION "test cases: +0 ")
  endforeach()
  add_test(NAME ${name}
    COMMAND ${target} --test-suite-exclude=${excluded})
  foreach(promise ${ARG_PROMISES})
    add_test(NAME ${name}.promise-${promise}
      COMMAND ${target} --test-suite=promise-${promise})
    set_tests_properties(${name}.promise-${promise} PROPERTIES
      LABELS promise-${promise}
      FAIL_REGULAR_EXPRESSION "test cases: +0 ")
  endforeach()
endfunction()
