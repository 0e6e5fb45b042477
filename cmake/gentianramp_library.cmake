# gentianramp_library(NAME SOURCES ... GENERATED ... DEPENDS ... TESTS ... TEST_DEPENDS ...)
#
# Adds the library gentianramp::NAME. GENERATED sources (protobuf) are compiled without warnings and
# included by their path from src/, as "gentianramp/wire/generated/envelope.pb.h". When TESTS are
# given, adds one Criterion program gentianramp_NAME_test that ctest runs.
function(gentianramp_library name)
    cmake_parse_arguments(ARG "" "" "SOURCES;GENERATED;DEPENDS;TESTS;TEST_DEPENDS" ${ARGN})
    set(target gentianramp_${name})
    add_library(${target} STATIC ${ARG_SOURCES} ${ARG_GENERATED})
    add_library(gentianramp::${name} ALIAS ${target})
    target_link_libraries(${target} PUBLIC gentianramp_options ${ARG_DEPENDS} Threads::Threads)
    if(ARG_GENERATED)
        set_source_files_properties(${ARG_GENERATED} PROPERTIES COMPILE_OPTIONS "-w")
        target_link_libraries(${target} PUBLIC protobuf::libprotobuf)
    endif()
    if(ARG_TESTS AND GENTIANRAMP_TESTS AND NOT GENTIANRAMP_SANITIZE STREQUAL "thread")
        add_executable(${target}_test ${ARG_TESTS})
        target_link_libraries(${target}_test PRIVATE ${target} ${ARG_TEST_DEPENDS}
            gentianramp_criterion)
        # Tests of the suite known_red show faults that KNOWN-RED.txt lists.
        add_test(NAME ${name} COMMAND ${target}_test --jobs 2 --timeout 120
            --filter "!(known_red)/*")
    endif()
endfunction()

# gentianramp_program(NAME SOURCES ... DEPENDS ...)
#
# Adds the executable gentianramp-NAME.
function(gentianramp_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    string(REPLACE "_" "-" file ${name})
    set(target gentianramp_${name}_program)
    add_executable(${target} ${ARG_SOURCES})
    set_target_properties(${target} PROPERTIES OUTPUT_NAME gentianramp-${file}
        RUNTIME_OUTPUT_DIRECTORY "${PROJECT_BINARY_DIR}/bin")
    target_link_libraries(${target} PRIVATE gentianramp_options ${ARG_DEPENDS})
endfunction()
