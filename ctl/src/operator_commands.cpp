#include "command.h"
#include "command_line.h"
#include "digest.h"
#include "printing.h"
#include "yaml_json.h"

#include "endiveusher/protocol/json.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

namespace endiveusher::ctl::internal {

namespace {

using text_arg = TCLAP::ValueArg<std::string>;
using positional_arg = TCLAP::UnlabeledValueArg<std::string>;

/// Options of all commands that change the configuration.
struct change_options
{
  explicit change_options(TCLAP::CmdLine& aParser)
    : mOperationId("", "operation-id",
                   "Id of the change, to repeat one whose outcome is unknown. Default: random.",
                   false, "", "ID", aParser),
      mExpectedOffset("", "expected-offset",
                      "Refuse if an affected entry was changed after this offset.", false, -1,
                      "OFFSET", aParser)
  {
  }

  exit_code publish(const command_line& aLine, cell_client& aClient, publish_call aCall) const
  {
    if (mOperationId.isSet() || aCall.mOperationId.empty()) {
      aCall.mOperationId = mOperationId.isSet() ? mOperationId.getValue() : randomHex();
    }
    if (mExpectedOffset.isSet()) {
      if (mExpectedOffset.getValue() < 0) {
        aLine.fail("--expected-offset must not be negative");
      }
      aCall.mExpectedOffset = static_cast<log_offset>(mExpectedOffset.getValue());
    }
    const auto code = report(aLine, aClient.post("/v1/publish", protocol::toJson(aCall)));
    if (code == exit_code::unknown && !aLine.json()) {
      aLine.context().mErrors << "repeat the change with --operation-id " << aCall.mOperationId
                              << '\n';
    }
    return code;
  }

  exit_code publish(const command_line& aLine, config_change aChange) const
  {
    cell_client client(aLine.settings());
    return publish(aLine, client, { .mChanges = { std::move(aChange) } });
  }

  text_arg mOperationId;
  TCLAP::ValueArg<std::int64_t> mExpectedOffset;
};

std::int64_t parseLimit(const command_line& aLine, const text_arg& aArgument)
{
  const std::string& text = aArgument.getValue();
  if (text == "unlimited") {
    return limit_vector::kUnlimited;
  }
  std::int64_t limit = -1;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, limit);
  if (parsed.ec != std::errc() || parsed.ptr != end || limit < 0) {
    aLine.fail("--" + aArgument.getName() + " takes a number from 0 or 'unlimited', not '" + text +
               "'");
  }
  return limit;
}

/// Options that describe a team; a property without its option stays unchanged.
struct team_options
{
  explicit team_options(TCLAP::CmdLine& aParser)
    : mShare("", "share", "Weight when the cell is full, above 0.", false, 1.0, "WEIGHT", aParser),
      mTasks("", "limit-tasks", "Upper limit of running tasks, or 'unlimited'.", false, "", "N",
             aParser),
      mCpu("", "limit-cpu-milli", "Upper limit of processor time in use, thousandths of a core.",
           false, "", "N", aParser),
      mMemory("", "limit-memory-mb", "Upper limit of memory in use, MB.", false, "", "N", aParser),
      mAccelerators("", "limit-accelerators", "Upper limit of accelerators in use.", false, "", "N",
                    aParser),
      mOpen("", "open", "yes: accept work without a key; no: only with one.", false, "", "yes|no",
            aParser)
  {
  }

  void apply(const command_line& aLine, set_team& aTeam) const
  {
    if (mShare.isSet()) {
      aTeam.mShare = mShare.getValue();
    }
    const auto limit = [&aLine](const text_arg& aArgument, std::int64_t& aLimit) {
      if (aArgument.isSet()) {
        aLimit = parseLimit(aLine, aArgument);
      }
    };
    limit(mTasks, aTeam.mLimit.mTasks);
    limit(mCpu, aTeam.mLimit.mCpuMilli);
    limit(mMemory, aTeam.mLimit.mMemoryMb);
    limit(mAccelerators, aTeam.mLimit.mAccelerators);
    if (mOpen.isSet()) {
      if (mOpen.getValue() != "yes" && mOpen.getValue() != "no") {
        aLine.fail("--open takes yes or no");
      }
      aTeam.mOpen = mOpen.getValue() == "yes";
    }
  }

  TCLAP::ValueArg<double> mShare;
  text_arg mTasks;
  text_arg mCpu;
  text_arg mMemory;
  text_arg mAccelerators;
  text_arg mOpen;
};

exit_code teamSet(command_context& aContext)
{
  command_line line(
    aContext, "team set",
    "Creates or changes a team. A property whose option is not given stays unchanged.\n"
    "Refused if the team is changed by somebody else at the same time.");
  const change_options change(line.parser());
  const team_options options(line.parser());
  const positional_arg name("team", "Name of the team.", true, "", "TEAM", line.parser());
  line.parse();
  set_team team{ .mTeam = name.getValue() };
  options.apply(line, team); // Detects wrong usage before anything is sent.
  cell_client client(line.settings());
  const auto shown = client.get("/v1/show");
  const auto* config = std::get_if<config_view>(&shown.mAnswer.mBody);
  if (config == nullptr) {
    report(line, shown);
    const auto code = exitCodeOf(shown);
    return code == exit_code::refused ? code : exit_code::not_run;
  }
  const auto existing = std::ranges::find(config->mTeams, name.getValue(),
                                          [](const auto& aView) { return aView.mTeam.mTeam; });
  if (existing != config->mTeams.end()) {
    team = existing->mTeam;
    options.apply(line, team);
  }
  return change.publish(line, client, { .mExpectedOffset = config->mOffset, .mChanges = { team } });
}

exit_code teamRemove(command_context& aContext)
{
  command_line line(aContext, "team remove", "Removes a team; its keys stop working.");
  const change_options change(line.parser());
  const positional_arg name("team", "Name of the team.", true, "", "TEAM", line.parser());
  line.parse();
  return change.publish(line, remove_team{ .mTeam = name.getValue() });
}

/// Options that identify a key: a file that contains it, or its digest.
struct key_options
{
  explicit key_options(TCLAP::CmdLine& aParser)
    : mFile("", "team-key-file", "File with the team's key on its first line.", false, "", "FILE",
            aParser),
      mDigest("", "digest", "SHA-256 of the team's key, lower-case hex.", false, "", "HEX", aParser)
  {
  }

  std::string digest(const command_line& aLine) const
  {
    if (mFile.isSet() == mDigest.isSet()) {
      aLine.fail("give either --team-key-file or --digest");
    }
    return mFile.isSet() ? sha256Hex(readKeyFile(aLine, mFile.getValue())) : mDigest.getValue();
  }

  text_arg mFile;
  text_arg mDigest;
};

exit_code keyGrant(command_context& aContext)
{
  command_line line(aContext, "key grant",
                    "Lets a key submit work for a team. Only the key's SHA-256 is sent.");
  const change_options change(line.parser());
  const key_options key(line.parser());
  const positional_arg name("team", "Name of the team.", true, "", "TEAM", line.parser());
  line.parse();
  return change.publish(line,
                        grant_key{ .mTeam = name.getValue(), .mKeyDigest = key.digest(line) });
}

exit_code keyWithdraw(command_context& aContext)
{
  command_line line(aContext, "key withdraw", "Withdraws a key; it stops working within seconds.");
  const change_options change(line.parser());
  const key_options key(line.parser());
  line.parse();
  return change.publish(line, withdraw_key{ .mKeyDigest = key.digest(line) });
}

exit_code setZone(command_context& aContext, const std::string& aName,
                  const std::string& aDescription, zone_state aState)
{
  command_line line(aContext, aName, aDescription);
  const change_options change(line.parser());
  const positional_arg zone("zone", "Name of the zone.", true, "", "ZONE", line.parser());
  line.parse();
  return change.publish(line, set_zone_state{ .mZone = zone.getValue(), .mState = aState });
}

exit_code zoneIn(command_context& aContext)
{
  return setZone(aContext, "zone in", "Lets an availability zone take work again.", zone_state::in);
}

exit_code zoneOut(command_context& aContext)
{
  return setZone(
    aContext, "zone out",
    "Takes an availability zone out: nothing starts there within seconds, batch tasks\n"
    "are checkpointed and moved, services are moved.",
    zone_state::out);
}

exit_code publishFile(command_context& aContext)
{
  command_line line(aContext, "publish",
                    "Publishes the changes of a YAML file together; either all apply or none.\n"
                    "The file has the form of PublishCall in protocol/schema/endiveusher.capnp:\n\n"
                    "  changes:\n"
                    "    - setTeam: {team: maps, share: 2, limit: {tasks: 40}}\n"
                    "    - grantKey: {team: maps, keyDigest: \"<SHA-256 of the key>\"}\n"
                    "    - setZoneState: {zone: a, state: out}\n\n"
                    "setTeam replaces the whole team. expectedOffset may be given beside changes.");
  const change_options change(line.parser());
  const positional_arg path("file", "YAML file.", true, "", "FILE", line.parser());
  line.parse();
  std::ifstream file(path.getValue());
  if (!file) {
    line.fail("cannot read " + path.getValue());
  }
  std::ostringstream text;
  text << file.rdbuf();
  std::string json;
  try {
    json = yamlToJson(text.str());
  } catch (const std::runtime_error& error) {
    line.fail(path.getValue() + ": " + error.what());
  }
  auto call = protocol::fromJson<publish_call>(json);
  if (!call.ok()) {
    line.fail(path.getValue() + ": " + std::string(call.status().message()));
  }
  cell_client client(line.settings());
  return change.publish(line, client, std::move(*call));
}

exit_code show(command_context& aContext)
{
  command_line line(aContext, "show",
                    "Shows the configuration in force at the daemon that answers.");
  line.parse();
  cell_client client(line.settings());
  return report(line, client.get("/v1/show"));
}

exit_code dump(command_context& aContext)
{
  command_line line(aContext, "dump", "Prints the state of the first daemon that answers, JSON.");
  line.parse();
  cell_client client(line.settings());
  return report(line, client.get("/v1/dump", body_form::raw));
}

exit_code metrics(command_context& aContext)
{
  command_line line(aContext, "metrics", "Prints the metrics of the first daemon that answers.");
  line.parse();
  cell_client client(line.settings());
  return report(line, client.get("/v1/metrics", body_form::raw));
}

} // namespace

std::span<const command> operatorCommands()
{
  static const command kCommands[] = {
    { "team set", "create or change a team", &teamSet },
    { "team remove", "remove a team", &teamRemove },
    { "key grant", "let a key submit work for a team", &keyGrant },
    { "key withdraw", "withdraw a key", &keyWithdraw },
    { "zone in", "let a zone take work again", &zoneIn },
    { "zone out", "take a zone out", &zoneOut },
    { "publish", "publish changes from a YAML file", &publishFile },
    { "show", "show the configuration", &show },
    { "dump", "print the state of a daemon", &dump },
    { "metrics", "print the metrics of a daemon", &metrics },
  };
  return kCommands;
}

} // namespace endiveusher::ctl::internal
