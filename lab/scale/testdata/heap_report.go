package main

import (
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"
)

// The scale run builds the program with this file to read its live heap: SIGUSR1 collects and writes a log line.
func init() {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	go func() {
		for range asked {
			runtime.GC()
			runtime.GC()
			var stats runtime.MemStats
			runtime.ReadMemStats(&stats)
			slog.Info("live_heap", "bytes", stats.HeapAlloc)
		}
	}()
}
