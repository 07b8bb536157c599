// Package logging configures package log/slog for the programs: each event is one line of key=value pairs, which begins
// with time, level and event.
package logging

import (
	"io"
	"log"
	"log/slog"
	"sync/atomic"
)

// DebugLevel is the value of the environment variable GW_LOG_LEVEL by which a gateway logs the events of the level
// DEBUG too.
const DebugLevel = "debug"

// debugEnabled says whether events of the level DEBUG are logged.
var debugEnabled atomic.Bool

// EnableDebug makes loggers that SetOutput sets from now on write the events of the level DEBUG, or drop them.
func EnableDebug(enable bool) { debugEnabled.Store(enable) }

// DebugEnabled reports whether events of the level DEBUG are logged. Callers ask first where an event would cost each
// request something.
func DebugEnabled() bool { return debugEnabled.Load() }

// TimeLayout is the layout, in the sense of time.Format, of the time in a log line. The time is in UTC, in
// microseconds.
const TimeLayout = "2006-01-02T15:04:05.000000Z"

// MessageKey is the key of slog's message in a log line. Every message is the name of an event. The name of the
// constant must not begin with Event: the tests take such string constants for names of events.
const MessageKey = "event"

// SetOutput makes the default logger of package log/slog write to w in this package's format. Package log writes to it
// too. The returned function restores the previous settings of both packages.
func SetOutput(w io.Writer) (restore func()) {
	logger, writer, flags := slog.Default(), log.Writer(), log.Flags()
	level := slog.LevelInfo
	if DebugEnabled() {
		level = slog.LevelDebug
	}
	options := slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr}
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &options)))
	return func() {
		slog.SetDefault(logger)
		log.SetOutput(writer) // slog.SetDefault has redirected package log to the handler
		log.SetFlags(flags)
	}
}

// replaceAttr renames the key of the message to MessageKey and formats the time by TimeLayout. It does the same to
// fields of an event with the keys "msg" and "time", which events therefore must not use.
func replaceAttr(_ []string, attr slog.Attr) slog.Attr {
	switch attr.Key {
	case slog.MessageKey:
		attr.Key = MessageKey
	case slog.TimeKey:
		attr.Value = slog.StringValue(attr.Value.Time().UTC().Format(TimeLayout))
	}
	return attr
}
