package groundtruth

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"

	"ravensill/internal/observer"
)

const maxLineBytes = 1 << 20 // largest line of an answer or of a records file

// Query sends a query to the collector at addr and calls handle with each line of the answer; the line is valid only
// during the call. It fails if there is no line or handle fails.
func Query(ctx context.Context, addr string, query observer.Query, handle func(line []byte) error) error {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	text, err := json.Marshal(query)
	if err != nil {
		return err
	}
	if _, err := conn.Write(append(text, '\n')); err != nil {
		return err
	}
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxLineBytes)
	count := 0
	for lines.Scan() {
		if err := handle(lines.Bytes()); err != nil {
			return err
		}
		count++
	}
	if count == 0 {
		return fmt.Errorf("collector closed the connection without an answer: %v", lines.Err())
	}
	return lines.Err()
}

// decodeInto returns a handler for Query that decodes a JSON line into the value that to points at.
func decodeInto(to any) func([]byte) error {
	return func(line []byte) error { return json.Unmarshal(line, to) }
}
