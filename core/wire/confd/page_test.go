package confd

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenabank/core/query/merge"
	"verbenabank/core/state/rules"
	"verbenabank/core/state/tree"
	"verbenabank/core/wire/confjs"
	"verbenabank/core/wire/jtree"
)

func readConfigurationPage(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestDocumentedMergeExample(t *testing.T) {
	is := is.New(t)
	_, block, _ := strings.Cut(readConfigurationPage(t), "```jsonc\n")
	block, _, _ = strings.Cut(block, "```")
	layers := []merge.Layer{}
	for _, part := range regexp.MustCompile(`(?m)^// (\S+)\n(\{.*)$`).FindAllStringSubmatch(block, -1) {
		root, faults := jtree.Parse(part[1], []byte(part[2]))
		is.Equal(len(faults), 0)
		layers = append(layers, merge.NewLayer(part[1], root))
	}
	is.Equal(len(layers), 2)
	is.Equal(string(jtree.Canonical(merge.Merge(layers...))),
		`{"services":{"catalogue":{"pooled":{},"queue":{"length":128,"wait_ms":500}}}}`)
}

func TestDocumentationListsAllDefaults(t *testing.T) {
	text := readConfigurationPage(t)
	s := rules.NewService("a", rules.WithKind(rules.NewKeyed(rules.NewHeader("X-Key"), rules.DefaultShards)))
	document, _ := jtree.Parse("f", confjs.Encode(rules.New(1, "", s)))
	services, _ := document.Field("services")
	service, _ := services.(tree.Object).Field("a")
	var walk func(path tree.Path, n tree.Node)
	walk = func(path tree.Path, n tree.Node) {
		if o, ok := n.(tree.Object); ok {
			for _, name := range o.Names() {
				child, _ := o.Field(name)
				walk(path.With(name), child)
			}
			return
		}
		_, row, ok := strings.Cut(text, "\n| `"+path.String()+"` |")
		row, _, _ = strings.Cut(row, "\n")
		value := strings.ReplaceAll(string(jtree.Canonical(n)), ",", ", ")
		if !ok || !strings.Contains(row, " "+value) && !strings.Contains(row, "`"+value+"`") && path.String() != "keyed.key.header" {
			t.Errorf("CONFIGURATION.md does not list %s with its default %s", path, value)
		}
	}
	walk(tree.Path{}, service)
}
