#pragma once

#include "endiveusher/platform/node_settings.h"

#include <functional>
#include <memory>

namespace endiveusher::node {

/// A daemon of a cell that keeps its state in the platform's store: serves callers, follows the
/// journal, and schedules on all targets of the cell while it is the elected owner.
///
/// Usage:
///   cell_node node(settings);
///   node.start([] { notifyMain(); });
///   node.stop(); // graceful; the callback of start() runs when the daemon has ended
class cell_node
{
public:
  explicit cell_node(platform::node_settings aSettings);
  ~cell_node();
  cell_node(const cell_node&) = delete;
  cell_node& operator=(const cell_node&) = delete;

  /// Throws std::runtime_error if an address cannot be bound. aStopped runs on another thread.
  void start(std::function<void()> aStopped);
  /// Releases the ownership, answers open calls and ends the daemon. Callable from any thread.
  void stop();
  /// Applies changed settings that need no restart. Callable from any thread.
  void reload(platform::node_settings aSettings);
  /// Writes the state to standard output. Callable from any thread.
  void dumpState();

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::node
