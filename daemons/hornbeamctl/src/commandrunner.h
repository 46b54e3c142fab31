#pragma once

#include "adminclient.h"
#include "ctloptions.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <string>

namespace Hornbeam {

/** Runs one command and prints its result. */
class CommandRunner
{
public:
    /** The streams must outlive the runner. */
    CommandRunner(CtlOptions options, std::istream &in, std::ostream &out, std::ostream &err);

    ExitCode run();

private:
    ExitCode plan();
    ExitCode confirm();
    ExitCode waitForRollout(const std::string &version);
    ExitCode show(const std::string &path, void (*print)(const nlohmann::json &, std::ostream &));
    ExitCode dump();
    Result<AdminReply> request(const AdminCall &call);
    ExitCode fail(const AdminReply &reply);
    ExitCode fail(const std::string &message, ExitCode code);

    CtlOptions m_options;
    AdminClient m_client;
    std::istream &m_in;
    std::ostream &m_out;
    std::ostream &m_err;
};

} // namespace Hornbeam
