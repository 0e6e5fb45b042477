# Compiler settings shared by every target.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE Release)
endif()
set(CMAKE_CXX_FLAGS_RELEASE "-O2 -g1")

set(GENTIANRAMP_SANITIZE "" CACHE STRING "Sanitizer to build with: empty, address or thread")
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${CMAKE_COMMAND}" -E env "CCACHE_BASEDIR=${PROJECT_SOURCE_DIR}"
        "CCACHE_NOHASHDIR=1" "${CCACHE_PROGRAM}")
endif()

add_library(gentianramp_options INTERFACE)
target_compile_options(gentianramp_options INTERFACE -Wall -Wextra -Wpedantic -Werror -Wno-psabi -Wno-missing-field-initializers -Wno-mismatched-new-delete
    -ffile-prefix-map=${PROJECT_SOURCE_DIR}=. -include utility) # Asio 1.74 misses this header in coroutines
target_link_options(gentianramp_options INTERFACE -fuse-ld=lld)
target_include_directories(gentianramp_options INTERFACE "${PROJECT_SOURCE_DIR}/include"
    "${PROJECT_SOURCE_DIR}/src")
target_compile_definitions(gentianramp_options INTERFACE
    GENTIANRAMP_VERSION="${PROJECT_VERSION}" BOOST_ASIO_NO_DEPRECATED
    BOOST_ASIO_HAS_CO_AWAIT=1 BOOST_ASIO_HAS_STD_COROUTINE=1
    BOOST_DISABLE_ASSERTS) # Beast 1.74 asserts that the end of a chunked body comes in one piece
if(GENTIANRAMP_SANITIZE STREQUAL "address")
    target_compile_options(gentianramp_options INTERFACE -fsanitize=address,undefined
        -Wno-maybe-uninitialized # g++ 12 warns about Boost headers when it instruments them
        -fno-sanitize-recover=all -fno-omit-frame-pointer)
    target_link_options(gentianramp_options INTERFACE -fsanitize=address,undefined)
elseif(GENTIANRAMP_SANITIZE STREQUAL "thread")
    target_compile_options(gentianramp_options INTERFACE -fsanitize=thread -Wno-tsan
        -Wno-maybe-uninitialized)
    target_link_options(gentianramp_options INTERFACE -fsanitize=thread)
endif()
