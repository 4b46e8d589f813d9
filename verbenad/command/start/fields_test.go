package start

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// repositoryRoot is the root of the repository.
const repositoryRoot = "../../.."

// collectLogFields adds to names all names of log fields in the sources of a folder.
func collectLogFields(t *testing.T, folder string, names map[string]bool) {
	t.Helper()
	text := func(e ast.Expr) {
		if l, ok := e.(*ast.BasicLit); ok && l.Kind == token.STRING {
			name, _ := strconv.Unquote(l.Value)
			names[name] = true
		}
	}
	err := filepath.WalkDir(filepath.Join(repositoryRoot, folder), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.CallExpr:
				if s, ok := n.Fun.(*ast.SelectorExpr); ok && s.Sel.Name == "WithField" {
					text(n.Args[0])
				}
			case *ast.CompositeLit:
				if s, ok := n.Type.(*ast.SelectorExpr); ok && s.Sel.Name == "Fields" {
					for _, e := range n.Elts {
						text(e.(*ast.KeyValueExpr).Key)
					}
				}
			case *ast.AssignStmt: // a field added to a logrus.Fields map
				for _, e := range n.Lhs {
					if x, ok := e.(*ast.IndexExpr); ok {
						text(x.Index)
					}
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// TestLogFieldsAreDocumented guards against log fields in the sources that the tables of OPERATIONS.md
// don't list, and the reverse.
func TestLogFieldsAreDocumented(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "OPERATIONS.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, logs, _ := strings.Cut(string(page), "\n### Fields\n")
	logs, _, _ = strings.Cut(logs, "\n### Reasons\n")
	documented := map[string]bool{}
	row := regexp.MustCompile("(?m)^\\| ((?:`[a-z_]+`(?:, )?)+) \\|[^|]*\\|[^|]*\\|$")
	for _, m := range row.FindAllStringSubmatch(logs, -1) {
		for name := range strings.SplitSeq(m[1], ", ") {
			documented[strings.Trim(name, "`")] = true
		}
	}
	used := map[string]bool{"error": true} // set by WithError
	for _, folder := range []string{"verbenad", "platform"} {
		collectLogFields(t, folder, used)
	}
	var missing, unused []string
	for name := range used {
		if !documented[name] {
			missing = append(missing, name)
		}
	}
	for name := range documented {
		if !used[name] {
			unused = append(unused, name)
		}
	}
	slices.Sort(missing)
	slices.Sort(unused)
	if len(missing)+len(unused) > 0 {
		t.Fatalf("log fields not in OPERATIONS.md: %v; documented but in no source: %v", missing, unused)
	}
}
