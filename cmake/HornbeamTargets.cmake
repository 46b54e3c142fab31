# Dependencies, compile options and functions shared by all CMakeLists.txt files of the project.

find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Protobuf REQUIRED)
find_package(gRPC CONFIG REQUIRED)
find_package(restinio REQUIRED)
find_package(fmt REQUIRED)
find_package(CURL REQUIRED)
find_package(log4cxx REQUIRED)
find_package(OpenSSL REQUIRED)
pkg_check_modules(CPPUTEST REQUIRED IMPORTED_TARGET cpputest)
pkg_check_modules(ZSTD REQUIRED IMPORTED_TARGET libzstd)

add_compile_definitions(ASIO_STANDALONE)
add_compile_options(-Wall -Wextra -Wpedantic -Werror=return-type -Werror=unused-result)

# hornbeam_library(NAME SOURCES <src...> [DEPS <libs...>] [PRIVATE_DEPS <libs...>])
# Adds the static library Hornbeam::NAME with public headers in include/ and private headers in src/.
function(hornbeam_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPS;PRIVATE_DEPS" ${ARGN})
  add_library(hornbeam_${name} STATIC ${ARG_SOURCES})
  add_library(Hornbeam::${name} ALIAS hornbeam_${name})
  target_include_directories(hornbeam_${name}
    PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include> $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>
    PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(hornbeam_${name} PUBLIC ${ARG_DEPS} Threads::Threads PRIVATE ${ARG_PRIVATE_DEPS})
  install(TARGETS hornbeam_${name} ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/include)
    install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})
  endif()
endfunction()

# hornbeam_test(NAME SOURCES <src...> [DEPS <libs...>] [TIMEOUT <seconds>] [GROUP <group> SERIAL_CASES <cases...>])
# Adds a CppUTest program and registers it with CTest. The default timeout is 60 s. With SERIAL_CASES, each of these cases
# of the group is registered as NAME-CASE and does not run beside other tests.
function(hornbeam_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT;GROUP" "SOURCES;DEPS;SERIAL_CASES" ${ARGN})
  add_executable(${name} ${ARG_SOURCES} ${PROJECT_SOURCE_DIR}/tests/support/tests/testmain.cpp)
  target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} PkgConfig::CPPUTEST Threads::Threads)
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 60)
  endif()
  if(ARG_SERIAL_CASES)
    foreach(case ${ARG_SERIAL_CASES})
      add_test(NAME ${name}-${case} COMMAND ${name} -v -sg ${ARG_GROUP} -sn ${case})
      set_tests_properties(${name}-${case} PROPERTIES TIMEOUT ${ARG_TIMEOUT} RUN_SERIAL TRUE)
    endforeach()
    return()
  endif()
  add_test(NAME ${name} COMMAND ${name} -v)
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
