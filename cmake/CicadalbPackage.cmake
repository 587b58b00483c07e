# Build rules shared by all packages. Sources are found by file globs, so a new file needs no change here.

add_library(cicadalb_options INTERFACE)
target_compile_options(cicadalb_options INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wnon-virtual-dtor -Woverloaded-virtual -Werror
    # False positive of GCC 12: Asio's coroutine frames have matching operators new and delete.
    -Wno-mismatched-new-delete)
target_compile_definitions(cicadalb_options INTERFACE
    BOOST_ASIO_NO_DEPRECATED BOOST_ASIO_DISABLE_BOOST_COROUTINE)
target_link_libraries(cicadalb_options INTERFACE Boost::headers Threads::Threads)

# cicadalb_package(<name> [LINK <target>...])
# Builds the library cicadalb_<name> from src/*.cpp and, where tests/unit-*.cpp exist, its test program.
function(cicadalb_package name)
    cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/*/*.cpp)
    add_library(cicadalb_${name} STATIC ${sources})
    target_include_directories(cicadalb_${name} PUBLIC include PRIVATE src)
    target_link_libraries(cicadalb_${name} PUBLIC cicadalb_options ${ARG_LINK})
    cicadalb_tests(${name})
endfunction()

# cicadalb_tests(<name>)
# Builds test_<name> from tests/*.cpp of the current folder and registers each test case with ctest.
function(cicadalb_tests name)
    file(GLOB tests CONFIGURE_DEPENDS tests/*.cpp)
    if(NOT tests)
        return()
    endif()
    add_executable(test_${name} ${tests})
    target_include_directories(test_${name} PRIVATE src tests)
    target_compile_definitions(test_${name} PRIVATE CICADALB_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
    target_link_libraries(test_${name} PRIVATE cicadalb_${name} cicadalb_test_main rapidcheck)
    catch_discover_tests(test_${name} TEST_PREFIX "${name}: " EXTRA_ARGS -w NoTests
        PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261203" TIMEOUT 120)
endfunction()
