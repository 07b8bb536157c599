package hosts

import (
	"bytes"
	"errors"
	"slices"
	"strconv"

	"ravensill/gateway"
	"ravensill/internal/resp"
)

// maxReportedNumber bounds the numbers in usage and load reports.
const maxReportedNumber = 1e9

var errMalformed = errors.New("malformed answer")

// parseAnswer parses an answer. It returns the value, nil without one, and sets the result, usage and load report in
// event. loadFields names the fields of a load report. The value shares memory with the parsed bytes. Usage and load
// reports that can't be parsed are ignored: the value is the client's whatever comes with it.
func parseAnswer(answer resp.Value, loadFields []string, event *gateway.Event) (value []byte, err error) {
	switch answer.Kind {
	case '*':
		return parseValue(answer.BulkStrings, loadFields, event)
	case '$': // of a probe
		if answer.BulkStrings[0] == nil {
			return nil, errMalformed
		}
		parseLoad(answer.BulkStrings[0], loadFields, event)
		return nil, nil
	case '-':
		parseError(answer.Line, loadFields, event)
		return nil, nil
	}
	return nil, errMalformed
}

// parseValue parses an answer of a value, then optionally usage and a load report.
func parseValue(parts [][]byte, loadFields []string, event *gateway.Event) (value []byte, err error) {
	if parts[0] == nil || len(parts) > 3 {
		return nil, errMalformed
	}
	if len(parts) > 1 {
		parseUsage(parts[1], event)
	}
	if len(parts) > 2 {
		parseLoad(parts[2], loadFields, event)
	}
	return parts[0], nil
}

// parseError parses an error answer: a code, then optionally usage and a load report.
func parseError(line []byte, loadFields []string, event *gateway.Event) {
	words := bytes.Split(line, []byte{' '})
	event.Result = gateway.Errored
	if string(words[0]) == "BUSY" {
		event.Result = gateway.Busy
	}
	for _, word := range words[1:] {
		isUsage := bytes.HasPrefix(word, []byte("used=")) || bytes.HasPrefix(word, []byte("cost="))
		switch {
		case isUsage:
			parseUsage(word, event)
		case bytes.IndexByte(word, '=') > 0:
			parseLoad(word, loadFields, event)
		}
	}
}

// parseUsage sets the usage in event if all of text can be parsed.
func parseUsage(text []byte, event *gateway.Event) {
	used := 0
	units := 0.0
	valid := forEachPair(text, func(name string, number float64) {
		switch name {
		case "used":
			used = 1 + int(number)
		case "cost":
			units = number
		}
	})
	if valid {
		event.Usage = used
		event.Units = units
	}
}

// parseLoad sets the load report in event if it has all fields: those missing from a partial report would read as zero.
func parseLoad(text []byte, loadFields []string, event *gateway.Event) {
	report := make([]float64, len(loadFields))
	seen := 0
	valid := forEachPair(text, func(name string, number float64) {
		if i := slices.Index(loadFields, name); i >= 0 {
			report[i] = number
			seen++
		}
	})
	if valid && seen == len(loadFields) && seen > 0 {
		event.LoadReport = report
	}
}

// forEachPair calls f for each name=number of a comma-separated list, and reports whether all of them are valid. It
// stops at the first that is not.
func forEachPair(text []byte, f func(name string, number float64)) bool {
	for len(text) > 0 {
		var pair []byte
		pair, text, _ = bytes.Cut(text, []byte{','})
		name, value, found := bytes.Cut(pair, []byte{'='})
		number, err := strconv.ParseFloat(string(value), 64)
		inRange := number >= 0 && number <= maxReportedNumber // false for NaN
		if !found || err != nil || !inRange {
			return false
		}
		f(string(name), number)
	}
	return true
}
