package config

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/internal/golden"
)

const section = `"counterfactual":{"listen":"10.0.0.4:7070","peers":["10.3.0.1:7070","10.3.0.2:7070"],"collectors":[0],` +
	`"queue":64,"missing":0.1},"settings"`

func TestCounterfactualSection(t *testing.T) { // defaults; each message names the key
	var all strings.Builder
	text := strings.Replace(good, `"settings"`, section, 1)
	c, err := load(t, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&all, "%+v\n", *c.Counterfactual)
	if c, err := load(t, good, nil); err != nil || c.Counterfactual != nil {
		t.Error("absent, yet on")
	}
	for _, x := range [][2]string{{`"queue"`, `"queu"`}, {`:64,"m`, `:"x","m`}, {`:64,"m`, `:0,"m`}, {`:64,"m`, `:1.5,"m`}, {`"missing":0.1`, `"missing":0.9`}, {`"missing":0.1`, `"part":0`},
		{`[0]`, `[2]`}, {`[0]`, `[]`}, {`[0]`, `0`}, {`"10.0.0.4:7070"`, `"here"`}, {`"10.0.0.4:7070"`, `7`}, {`"listen":"10.0.0.4:7070"`, `"keep_s":1,"listen":"10.0.0.4:7070"`},
		{`"10.3.0.2:7070"`, `"b"`}, {`,"10.3.0.2:7070"`, ``}, {section, `"counterfactual":7,"settings"`}} {
		all.WriteString(fault(t, text, x[0], x[1]))
	}
	golden.Check(t, all.String())
}
