#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// CppUTest's leak detection reports the lazily created statics of libcurl, gRPC and log4cxx as leaks, so it is
// disabled; builds with the sanitize preset detect real leaks.
int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
