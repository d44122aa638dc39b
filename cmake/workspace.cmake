# Settings and helper functions shared by every module, program and test.

set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
    set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

# Omits -DNDEBUG, so that assertions detect programming errors in optimized
# builds too.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O2 -g1")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

find_package(Threads REQUIRED)
find_package(Boost REQUIRED COMPONENTS log thread system)

set(TURMERICSWITCH_SANITIZE "" CACHE STRING "Sanitizers to build with")

add_library(workspace_options INTERFACE)
target_compile_options(workspace_options INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion -Werror)
target_compile_definitions(workspace_options INTERFACE BOOST_LOG_DYN_LINK)
target_include_directories(workspace_options INTERFACE
    ${CMAKE_SOURCE_DIR}/modules ${CMAKE_SOURCE_DIR}/tests)
target_link_libraries(workspace_options INTERFACE Threads::Threads)
if(TURMERICSWITCH_SANITIZE)
    # With sanitizer instrumentation, g++ 12 reports uninitialized members
    # inside std::regex; the release build keeps that warning.
    target_compile_options(workspace_options INTERFACE
        -Wno-maybe-uninitialized
        -fsanitize=${TURMERICSWITCH_SANITIZE} -fno-omit-frame-pointer
        -fno-sanitize-recover=all -Wno-tsan)
    target_link_options(workspace_options INTERFACE
        -fsanitize=${TURMERICSWITCH_SANITIZE})
endif()

# Adds the static library of a module from its sources.
# LINK names the libraries and modules that it depends on.
function(turmericswitch_module name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_library(turmericswitch_${name} STATIC ${ARG_SOURCES})
    target_link_libraries(turmericswitch_${name}
        PUBLIC workspace_options ${ARG_LINK})
endfunction()

# Adds the test executable of a module and registers it with CTest.
function(turmericswitch_tests name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name}_tests ${ARG_SOURCES})
    target_link_libraries(${name}_tests
        PRIVATE test_support ${ARG_LINK} rapidcheck cppunit)
    target_compile_definitions(${name}_tests PRIVATE
        TURMERICSWITCH_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    add_test(NAME ${name} COMMAND ${name}_tests)
endfunction()

# Adds a program that is installed and started by operators or scripts.
function(turmericswitch_program name)
    cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
    add_executable(${name} ${ARG_SOURCES})
    target_link_libraries(${name} PRIVATE workspace_options ${ARG_LINK})
    target_compile_definitions(${name} PRIVATE
        TURMERICSWITCH_VERSION="${PROJECT_VERSION}")
endfunction()
