package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// encodeCommand encodes words as an array of bulk strings.
func encodeCommand(words ...string) []byte {
	text := fmt.Sprintf("*%d\r\n", len(words))
	for _, word := range words {
		text += bulk(word)
	}
	return []byte(text)
}

// bulk encodes a bulk string.
func bulk(text string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text) }

// readLine reads a line without its end.
func readLine(reader *bufio.Reader) (string, error) {
	line, err := reader.ReadString('\n')
	return strings.TrimSuffix(line, "\r\n"), err
}

// readBulk reads the rest of a bulk string whose first line is given.
func readBulk(reader *bufio.Reader, line string) (string, error) {
	length, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
	if err != nil || length < 0 || length > 1<<20 {
		return "", fmt.Errorf("not a bulk string: %q", line)
	}
	text := make([]byte, length+2)
	_, err = io.ReadFull(reader, text)
	return string(text[:length]), err
}

// readCommand reads an array of bulk strings.
func readCommand(reader *bufio.Reader) (words []string, err error) {
	line, err := readLine(reader)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimPrefix(line, "*"))
	if err != nil || count < 1 || count > 16 {
		return nil, fmt.Errorf("not a command: %q", line)
	}
	for range count {
		line, err := readLine(reader)
		if err != nil {
			return nil, err
		}
		word, err := readBulk(reader, line)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

// client is a client's connection to a gateway.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
}

// dialClient opens a client's connection.
func dialClient(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *client) close() { c.conn.Close() }

// call sends a command and returns the answer: its line, or "$" and the value. An answer that does not come whole in
// time is "none", with the reason.
func (c *client) call(limit time.Duration, words ...string) string {
	c.conn.SetDeadline(time.Now().Add(limit))
	if _, err := c.conn.Write(encodeCommand(words...)); err != nil {
		return "none: " + err.Error()
	}
	line, err := readLine(c.reader)
	if err != nil {
		return "none: " + err.Error()
	}
	if !strings.HasPrefix(line, "$") {
		return line
	}
	value, err := readBulk(c.reader, line)
	if err != nil {
		return "none: " + err.Error()
	}
	return "$" + value
}

// keptClient is a client that keeps its connection between requests, and opens another one when it has ended.
type keptClient struct {
	address string
	current *client
}

// call sends a command as client.call does. If the gateway closed the resting connection, the client sends the request
// once more on a new one.
func (k *keptClient) call(limit time.Duration, words ...string) string {
	kept := k.current != nil
	if !kept {
		opened, err := dialClient(k.address)
		if err != nil {
			return "none: " + err.Error()
		}
		k.current = opened
	}
	answer := k.current.call(limit, words...)
	if strings.HasPrefix(answer, "none") {
		k.current.close()
		k.current = nil
		ended := strings.Contains(answer, "EOF") || strings.Contains(answer, "reset") || strings.Contains(answer, "pipe")
		if kept && ended {
			return k.call(limit, words...)
		}
	}
	return answer
}

func (k *keptClient) close() {
	if k.current != nil {
		k.current.close()
	}
}
