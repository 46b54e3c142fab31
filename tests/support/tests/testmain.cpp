#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// CppUTest's leak detection counts the lazily created statics of libcurl, gRPC and log4cxx as leaks, so it is off here;
// the sanitize preset finds real leaks.
int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
