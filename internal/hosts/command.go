package hosts

import (
	"strconv"
	"time"

	"ravensill/internal/bufconn"
)

// Command is the text of a request for a host. Head is followed by one bulk string that consists of Before, the time
// left until the deadline in milliseconds, and After; Tail follows that. The slices must not change until the attempt
// is over.
type Command struct {
	Head           []byte
	BeforeTimeLeft []byte
	AfterTimeLeft  []byte
	Tail           []byte

	constant bool // Head is the complete command
}

// write appends the command, with the time left until the deadline, to a connection's output. The time is computed here
// and not where the attempt was decided on: the attempt may have waited for a connection since, and with a longer time
// the host would work for a client that is gone.
func (c *Command) write(out *bufconn.Buffer, timeLeft time.Duration) {
	out.Write(c.Head)
	if c.constant {
		return
	}
	milliseconds := strconv.AppendInt(nil, max(timeLeft.Milliseconds(), 1), 10)
	length := int64(len(c.BeforeTimeLeft) + len(milliseconds) + len(c.AfterTimeLeft))
	prefix := strconv.AppendInt([]byte{'$'}, length, 10)
	out.Write(append(prefix, "\r\n"...))
	out.Write(c.BeforeTimeLeft)
	out.Write(milliseconds)
	out.Write(c.AfterTimeLeft)
	out.Write([]byte("\r\n"))
	out.Write(c.Tail)
}
