package observer

import (
	"strings"
	"testing"
)

func TestDecodeQueryReadsAllKeys(t *testing.T) {
	const line = `{"frontend":"lookup","host":"s-1","rule":"least","part":0.5,"last":3,"hosts":true,"counts":true}`
	want := Query{
		RequestClass: "lookup",
		Host:         "s-1",
		Rule:         "least",
		Fraction:     0.5,
		LastWindows:  3,
		Hosts:        true,
		Counts:       true,
	}
	query, err := decodeQuery([]byte(line))
	if err != nil || query != want {
		t.Errorf("%+v, %v, want %+v", query, err, want)
	}
}

func TestDecodeQueryErrorNamesKey(t *testing.T) {
	for _, test := range []struct{ line, want string }{
		{`{"last":-1}`, "last: below zero, or too many"},
		{`{"last":1048577}`, "last: below zero, or too many"},
		{`{"part":1.5,"rule":"least"}`, "part: not from 0 to 1"},
		{`{"part":0.5}`, "rule, part: both or none wanted"},
		{`{"rule":"least"}`, "rule, part: both or none wanted"},
		{`{"windows":1}`, `unknown field "windows"`},
		{`what`, "invalid character"},
	} {
		_, err := decodeQuery([]byte(test.line))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s: %v, want %q", test.line, err, test.want)
		}
	}
}
