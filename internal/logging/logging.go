// Package logging configures package log/slog for the programs: each event is one line of key=value pairs, which begins
// with time, level and event.
package logging

import (
	"io"
	"log"
	"log/slog"
)

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
	slog.SetDefault(slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{ReplaceAttr: replaceAttr})))
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
