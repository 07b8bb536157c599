package hosts

import (
	"bytes"
	"errors"
	"slices"
	"strconv"

	"ravensill/gateway"
	"ravensill/internal/resp"
)

// maxReportedNumber is the largest number accepted in a usage or load report, in the unit of the reported field.
const maxReportedNumber = 1e9

var errMalformed = errors.New("malformed answer")

// parseAnswer parses the answer to a request or probe. It returns the value, or nil if the answer has none, and stores
// the result, the usage and the load report in event. loadFields names the fields of a load report. The value shares
// memory with the answer. A usage or load report that can't be parsed is ignored, because the client must get the value
// in any case. It fails with errMalformed if the answer has none of the forms that a host may send.
func parseAnswer(answer resp.Value, loadFields []string, event *gateway.Event) (value []byte, err error) {
	switch answer.Kind {
	case '*':
		return parseValue(answer.BulkStrings, loadFields, event)
	case '$': // the answer to a probe
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

// parseValue parses an array of a value, an optional usage report and an optional load report.
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

// parseError parses the line of an error answer: an error code, followed by optional usage and load reports. Words that
// are neither, such as those of an error message, are ignored.
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

// parseUsage stores a usage report in event if all of text can be parsed. used is the customer's metered use in
// percent, stored plus one because a Usage of 0 means that none was reported; cost is the number of units of the
// request.
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

// parseLoad stores a load report in event if it contains all of loadFields. A partial report is ignored, because its
// missing fields would be taken for zero.
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

// forEachPair calls f for each name=number pair of a comma-separated list, and reports whether all pairs are valid. It
// stops at the first invalid one.
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
