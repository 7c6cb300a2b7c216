// SPDX-License-Identifier: Apache-2.0

package ci

import (
	"bufio"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// minOuterNames guards against a list that was cut short.
const minOuterNames = 700

// TestOuterNames guards against renaming what leaves the process: each name on the list has to be a whole word of a string or a struct
// tag in a package of its section. A name that has several places in a section is found as long as one of them has it.
func TestOuterNames(t *testing.T) {
	root := filepath.Join("..", "..")
	sections, err := readOuterNames(filepath.Join("testdata", "outer_names.txt"))
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, section := range sections {
		count += len(section.names)
		missing, err := section.missingNames(root)
		if err != nil {
			t.Fatal(err)
		}
		for _, name := range missing {
			t.Errorf("%s: %q is in no string and no tag of %s", section.title, name, strings.Join(section.paths, ", "))
		}
	}
	if count < minOuterNames {
		t.Errorf("the list has %d names, want at least %d", count, minOuterNames)
	}
}

// TestMissingOuterNames checks that a changed name is found missing, and that a comment, an identifier, a test file, part of a longer
// word or another package does not stand in for it.
func TestMissingOuterNames(t *testing.T) {
	root := t.TempDir()
	for name, text := range map[string]string{
		"a/a.go":      "package a\n\n// T has a lease.\ntype T struct {\n\tTotal int `json:\"whole\"`\n\tlease int\n}\n\nconst path = \"/ask?since=%d\"\n",
		"a/a_test.go": "package a\n\nconst quota = \"mine\"\n",
		"b/b.go":      "package b\n\nconst text = \"wholesome grants\"\n",
		"deploy.toml": "build = \"x\"\n",
	} {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, c := range []struct {
		paths, names, want string
	}{
		{"a", "whole since /ask", ""},
		{"a", "whole lease", "lease"},
		{"a", "mine", "mine"},
		{"a", "grants", "grants"},
		{"b", "whole grants", "whole"},
		{"a b", "whole grants", ""},
		{"deploy.toml", "build run", "run"},
	} {
		section := outerSection{paths: strings.Fields(c.paths), names: strings.Fields(c.names)}
		missing, err := section.missingNames(root)
		if got := strings.Join(missing, " "); err != nil || got != c.want {
			t.Errorf("names %q in %q: missing %q, want %q; error %v", c.names, c.paths, got, c.want, err)
		}
	}
}

// outerSection is a part of the list: names with one subject, and the folders or files that hold them.
type outerSection struct {
	title string
	paths []string
	names []string
}

// readOuterNames reads the list. A section begins with "## title: path path"; other lines that begin with # are comments.
func readOuterNames(path string) ([]*outerSection, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var sections []*outerSection
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		line := lines.Text()
		switch heading, isHeading := strings.CutPrefix(line, "## "); {
		case isHeading:
			title, paths, _ := strings.Cut(heading, ": ")
			sections = append(sections, &outerSection{title: title, paths: strings.Fields(paths)})
		case line == "" || strings.HasPrefix(line, "#"):
		case len(sections) == 0:
			return nil, fmt.Errorf("%s: %q stands before the first section", path, line)
		default:
			last := sections[len(sections)-1]
			last.names = append(last.names, line)
		}
	}
	return sections, lines.Err()
}

// missingNames returns the names that no path of the section holds.
func (s *outerSection) missingNames(root string) ([]string, error) {
	var all strings.Builder
	for _, path := range s.paths {
		text, err := outerTexts(filepath.Join(root, path))
		if err != nil {
			return nil, err
		}
		all.WriteString(text)
	}
	var missing []string
	for _, name := range s.names {
		word := regexp.MustCompile(`(^|[^A-Za-z0-9_])` + regexp.QuoteMeta(name) + `($|[^A-Za-z0-9_])`)
		if !word.MatchString(all.String()) {
			missing = append(missing, name)
		}
	}
	return missing, nil
}

// outerTexts returns a file's text or, for a folder, the strings and struct tags of its Go files, a line each. Tests are left out.
func outerTexts(path string) (string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return "", err
	}
	if !info.IsDir() {
		text, err := os.ReadFile(path)
		return string(text), err
	}
	files, err := filepath.Glob(filepath.Join(path, "*.go"))
	if err != nil {
		return "", err
	}
	var all strings.Builder
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		if err := appendStrings(&all, file); err != nil {
			return "", err
		}
	}
	return all.String(), nil
}

// appendStrings appends the strings and struct tags of a Go file, without the paths of its imports.
func appendStrings(all *strings.Builder, path string) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	ast.Inspect(file, func(node ast.Node) bool {
		if _, isImport := node.(*ast.ImportSpec); isImport {
			return false
		}
		if literal, isLiteral := node.(*ast.BasicLit); isLiteral && literal.Kind == token.STRING {
			text, err := strconv.Unquote(literal.Value)
			if err == nil {
				all.WriteString(text + "\n")
			}
		}
		return true
	})
	return nil
}
