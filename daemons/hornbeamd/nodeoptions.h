#pragma once

#include <hornbeam/dissemination/disseminatoroptions.h>
#include <hornbeam/membership/failuredetectoroptions.h>
#include <hornbeam/proxy/proxyoptions.h>
#include <hornbeam/settings/settings.h>
#include <hornbeam/store/httpstore.h>

#include <string>

namespace Hornbeam {

// The options of the components of a node, from its settings. @p id: identifies the process among the nodes.

ProxyOptions proxyOptions(const Settings &settings, const std::string &id);
HttpStoreOptions storeOptions(const Settings &settings);
FailureDetectorOptions detectorOptions(const Settings &settings, const std::string &id);
DisseminatorOptions disseminatorOptions(const Settings &settings, const std::string &id);

} // namespace Hornbeam
