package groundtruth

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"

	"ravensill/internal/observer"
)

const maxLine = 1 << 20 // bytes of a line of an answer or a record

// Query sends a question to a collector and calls handle with each line of the answer.
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
	lines.Buffer(nil, maxLine)
	count := 0
	for lines.Scan() {
		if err := handle(lines.Bytes()); err != nil {
			return err
		}
		count++
	}
	if count == 0 {
		return fmt.Errorf("no answer of the collector: %v", lines.Err())
	}
	return lines.Err()
}

// decodeInto returns a handler that decodes a line.
func decodeInto(to any) func([]byte) error {
	return func(line []byte) error { return json.Unmarshal(line, to) }
}
