package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// errShape is the error of bytes that are not the RESP2 that the protocol page shows.
var errShape = errors.New("not RESP2 as expected")

// readLine returns the next line without its CR LF.
func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	if !strings.HasSuffix(line, "\r\n") || len(line) < 3 {
		return "", errShape
	}
	return line[:len(line)-2], nil
}

// readBulk returns the content of a bulk string whose header is given.
func readBulk(r *bufio.Reader, header string) (string, error) {
	size, err := strconv.Atoi(header[1:])
	if err != nil || header[0] != '$' || size < 0 {
		return "", errShape
	}
	content := make([]byte, size+2)
	if _, err := io.ReadFull(r, content); err != nil {
		return "", err
	}
	return string(content[:size]), nil
}

// readCommand returns the words of the next command.
func readCommand(r *bufio.Reader) ([]string, error) {
	header, err := readLine(r)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(header[1:])
	if err != nil || header[0] != '*' || count < 1 {
		return nil, errShape
	}
	words := make([]string, 0, count)
	for range count {
		header, err := readLine(r)
		if err != nil {
			return nil, err
		}
		word, err := readBulk(r, header)
		if err != nil {
			return nil, err
		}
		words = append(words, word)
	}
	return words, nil
}

// readAnswer returns the next answer of a gateway: its first byte, and its line or bulk string.
func readAnswer(r *bufio.Reader) (kind byte, text string, err error) {
	header, err := readLine(r)
	if err != nil {
		return 0, "", err
	}
	if header[0] != '$' {
		return header[0], header[1:], nil
	}
	text, err = readBulk(r, header)
	return '$', text, err
}

// encodeCommand returns the bytes of a command.
func encodeCommand(words ...string) []byte {
	text := fmt.Appendf(nil, "*%d\r\n", len(words))
	for _, word := range words {
		text = fmt.Appendf(text, "$%d\r\n%s\r\n", len(word), word)
	}
	return text
}

// argument returns the value of a name in a request's list of names and values.
func argument(list, name string) string {
	for _, pair := range strings.Split(list, ",") {
		if key, value, found := strings.Cut(pair, "="); found && key == name {
			return value
		}
	}
	return ""
}
