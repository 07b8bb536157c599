package hosts

import (
	"strconv"

	"ravensill/internal/bufconn"
)

// Command is the text of a request for a host. Head is followed by one bulk string that consists of Before, the time left
// until the deadline in whole milliseconds, and After; Tail follows that. The slices must not change until the attempt is over.
type Command struct {
	Head   []byte
	Before []byte
	After  []byte
	Tail   []byte

	constant bool // Head is the whole command
}

// write appends the command to a connection's output, with the time from now, in nanoseconds, that is left until the deadline.
// The time is computed here and not where the attempt was decided on: until its connection is up, or a quota has room, much of
// it may have passed, and a host that was told a longer time would work for a client that is gone.
func (c *Command) write(out *bufconn.Buffer, now, deadline int64) {
	out.Write(c.Head)
	if c.constant {
		return
	}
	milliseconds := strconv.AppendInt(nil, max((deadline-now)/nanosecondsPerMillisecond, 1), 10)
	length := int64(len(c.Before) + len(milliseconds) + len(c.After))
	prefix := strconv.AppendInt([]byte{'$'}, length, 10)
	out.Write(append(prefix, "\r\n"...))
	out.Write(c.Before)
	out.Write(milliseconds)
	out.Write(c.After)
	out.Write([]byte("\r\n"))
	out.Write(c.Tail)
}

const nanosecondsPerMillisecond = 1_000_000
