#pragma once

#include "endiveusher/standins/log_model.h"
#include "endiveusher/standins/vm_list_model.h"
#include "http/standin_service.h"

#include <map>
#include <mutex>
#include <string>

namespace endiveusher::standins {

/// Handles the HTTP calls of the log:
/// `POST /v1/streams/{stream}/append`, `GET /v1/streams/{stream}?from=&max=`, `GET /stats` and
/// `POST /faults` with any of `down`, `delay_ms`, `lose_append_answers`, `lose_read_answers`.
class log_service : public standin_service
{
public:
  explicit log_service(const log_options& aOptions) : mLog(aOptions) {}
  standin_reply handle(const standin_request& aRequest, time_point aNow) override;

private:
  standin_reply append(const std::string& aStream, const std::string& aBody, time_point aNow);
  standin_reply read(const std::string& aStream, const standin_request& aRequest, time_point aNow);
  standin_reply setFaults(const std::string& aBody);
  log_stream_model<std::string>& stream(const std::string& aName)
  {
    return mStreams.try_emplace(aName, mLog).first->second;
  }

  std::mutex mMutex;
  log_service_model mLog;
  std::map<std::string, log_stream_model<std::string>> mStreams;
};

/// Handles the HTTP calls of the VM list:
/// `GET /v1/vms`, `PUT /v1/vms` with a whole list, `POST /v1/vms` with a list of VMs to add or
/// replace, `DELETE /v1/vms/{name}`, `POST /v1/vms/{name}/leaving`, and `POST /faults` with `down`.
class vm_list_service : public standin_service
{
public:
  vm_list_service(duration aLag, vm_list aInitial) : mVms(aLag, std::move(aInitial)) {}
  standin_reply handle(const standin_request& aRequest, time_point aNow) override;

private:
  standin_reply replace(const standin_request& aRequest, time_point aNow);

  std::mutex mMutex;
  vm_list_model mVms;
};

} // namespace endiveusher::standins
