#include "commandrunner.h"
#include "ctloptions.h"

#include <iostream>

int main(int argc, char **argv)
{
    const auto line = Hornbeam::parseCommandLine({argv + 1, argv + argc});
    if (!line) {
        std::cerr << "hornbeamctl: " << line.error().message() << "\nTry hornbeamctl --help.\n";
        return static_cast<int>(Hornbeam::ExitCode::Usage);
    }
    if (!line->message.empty()) {
        std::cout << line->message;
        return static_cast<int>(Hornbeam::ExitCode::Ok);
    }
    Hornbeam::CommandRunner runner(line->options, std::cin, std::cout, std::cerr);
    return static_cast<int>(runner.run());
}
