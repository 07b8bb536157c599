package hosts

import (
	"strconv"
	"time"

	"ravensill/internal/bufconn"
)

// Command is the encoded text of a request for a host, without the time that is left until the request's deadline. Head
// is followed by one bulk string, which consists of BeforeTimeLeft, the time left in milliseconds and AfterTimeLeft.
// Tail follows that string. The slices must not change until the attempt is over.
type Command struct {
	Head           []byte
	BeforeTimeLeft []byte
	AfterTimeLeft  []byte
	Tail           []byte

	// IsAbandoned reports whether the client may have left, so that the command must not begin. It is called on the event
	// loop just before the first byte is written. nil: it never has.
	IsAbandoned func() bool

	complete bool // whether Head is the whole command, which then has no time left in it
}

// isAbandoned reports whether the client may have left.
func (c *Command) isAbandoned() bool { return c.IsAbandoned != nil && c.IsAbandoned() }

// write appends the command to a connection's output buffer. timeLeft is the time from now until the deadline. It is
// determined when the command is written, not when the attempt was decided on: the attempt may have waited for a
// connection in between, and with a longer time the host would work for a client that is gone.
func (c *Command) write(out *bufconn.Buffer, timeLeft time.Duration) {
	out.Write(c.Head)
	if c.complete {
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
