#pragma once

#include "endiveusher/platform/node_settings.h"

#include <functional>
#include <memory>

namespace endiveusher::node {

/// A daemon of a cell on the platform's store: serves callers, follows the journal, and owns the
/// targets while it is elected.
///
/// Usage:
///   cell_node node(settings);
///   node.start([] { notifyMain(); });
///   node.stop(); // graceful; the callback runs when all is done
class cell_node
{
public:
  explicit cell_node(platform::node_settings aSettings);
  ~cell_node();
  cell_node(const cell_node&) = delete;
  cell_node& operator=(const cell_node&) = delete;

  /// Throws std::runtime_error if an address cannot be used. aStopped runs on another thread.
  void start(std::function<void()> aStopped);
  /// Any thread: hands the ownership over, answers what is open and ends.
  void stop();
  /// Any thread: takes over changed settings where that needs no restart.
  void reload(platform::node_settings aSettings);
  /// Any thread: writes the state to standard output.
  void dumpState();

private:
  class impl;
  std::unique_ptr<impl> mImpl;
};

} // namespace endiveusher::node
