#pragma once

namespace Hornbeam {

struct Settings;

/** Runs a node until SIGTERM or SIGINT and returns the exit status of the process. */
int runDaemon(const Settings &settings);

} // namespace Hornbeam
