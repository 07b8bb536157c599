package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of what was sent, answered and run. Times are milliseconds since its start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// printf writes one line with the time in front.
func (r *record) printf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.1f ", float64(time.Since(r.start).Microseconds())/1000)
	fmt.Fprintf(r.out, format+"\n", values...)
}

// close writes what is buffered.
func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
