// Report of a crash: one log line with the signal and the stack, so that the end of a process can be traced afterwards.
#pragma once

namespace sesamespar {

/// From now on, a fatal signal or an uncaught exception writes the pending log lines and a line `event=crash` to the
/// file descriptor before the process ends. The stack is a list of offsets into the executable, for addr2line; frames
/// of libraries are written as absolute addresses.
void reportCrashes(int descriptor);

} // namespace sesamespar
