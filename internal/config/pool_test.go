package config

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/internal/golden"
)

const poolSectionText = `"pool":{"capacity":60,"reserve":4,"floor":2,` +
	`"voters":["10.3.0.1:7171","10.3.0.2:7171","10.3.0.3:7171"],"voter_seats":[0,1,2],"listen":"10.0.0.4:7171",` +
	`"dir":"/var/lib/pool","key":"00112233445566778899aabbccddeeff","drift":0.02},"settings"`

// The golden file has the values of the section, defaults included, and the error for each invalid value, which names
// its key.
func TestPoolSectionValuesAndErrors(t *testing.T) {
	base := strings.Replace(validFile, `"balancers":2`, `"balancers":3`, 1)
	text := strings.Replace(base, `"settings"`, poolSectionText, 1)
	text = strings.Replace(text, `"peers":[`, `"peers":["10.1.0.9:7070",`, 1)
	c, err := loadText(t, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	values := fmt.Sprintf("%+v\n", *c.Pool)
	c, err = loadText(t, validFile, nil)
	if err != nil || c.Pool != nil {
		t.Error("enabled by a file without the section, or the file is not loaded")
	}
	golden.Check(t, values+loadErrors(t, text, []replacement{
		{`"floor"`, `"flor"`},
		{`"floor":2`, `"floor":"2"`},
		{`"floor":2`, `"floor":0`},
		{`"floor":2`, `"floor":19`},
		{`"capacity":60`, `"capacity":-1`},
		{`"reserve":4`, `"reserve":55`},
		{`,"10.3.0.3:7171"`, ``},
		{`"10.3.0.3:7171"`, `"c"`},
		{`[0,1,2]`, `[0,1,1]`},
		{`[0,1,2]`, `[0,1,3]`},
		{`[0,1,2]`, `[0,1]`},
		{`"listen":"10.0.0.4:7171",`, ``},
		{`"dir":"/var/lib/pool",`, ``},
		{`00112233445566778899aabbccddeeff`, `0011`},
		{`"drift":0.02`, `"drift":0.5`},
		{`"drift":0.02`, `"lease_ms":20`},
		{`"drift":0.02`, `"tell_ms":2000`},
		{`"drift":0.02`, `"urgent":["none"]`},
		{`"drift":0.02`, `"weight":0`},
		{`"drift":0.02`, `"serial":0`},
		{`"drift":0.02`, `"streams":["10.3.0.1:1"]`},
		{poolSectionText, `"pool":7,"settings"`},
	}))
}
