package config

import (
	"fmt"
	"strings"
	"testing"

	"ravensill/internal/golden"
)

const counterfactualSectionText = `"counterfactual":{"listen":"10.0.0.4:7070",` +
	`"peers":["10.3.0.1:7070","10.3.0.2:7070"],` +
	`"collectors":[0],"queue":64,"missing":0.1},"settings"`

// The golden file has the values of the section, defaults included, and the error for each invalid value, which names
// its key.
func TestCounterfactualSectionValuesAndErrors(t *testing.T) {
	text := strings.Replace(validFile, `"settings"`, counterfactualSectionText, 1)
	c, err := loadText(t, text, nil)
	if err != nil {
		t.Fatal(err)
	}
	values := fmt.Sprintf("%+v\n", *c.Counterfactual)
	c, err = loadText(t, validFile, nil)
	if err != nil || c.Counterfactual != nil {
		t.Error("enabled by a file without the section, or the file is not loaded")
	}
	golden.Check(t, values+loadErrors(t, text, []replacement{
		{`"queue"`, `"queu"`},
		{`:64,"m`, `:"x","m`},
		{`:64,"m`, `:0,"m`},
		{`:64,"m`, `:1.5,"m`},
		{`"missing":0.1`, `"missing":0.9`},
		{`"missing":0.1`, `"part":0`},
		{`[0]`, `[2]`},
		{`[0]`, `[]`},
		{`[0]`, `0`},
		{`"10.0.0.4:7070"`, `"here"`},
		{`"10.0.0.4:7070"`, `7`},
		{`"listen":"10.0.0.4:7070"`, `"keep_s":1,"listen":"10.0.0.4:7070"`},
		{`"10.3.0.2:7070"`, `"b"`},
		{`,"10.3.0.2:7070"`, ``},
		{counterfactualSectionText, `"counterfactual":7,"settings"`},
	}))
}
