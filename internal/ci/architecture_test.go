// SPDX-License-Identifier: Apache-2.0

package ci

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// reference is a Go file that a page names, and the function that it names beside it, if any.
var reference = regexp.MustCompile("`([a-z][a-z/_]*\\.go)`(?: `([A-Za-z]+)`)?")

// TestArchitecturePage: each file and function that the architecture page names is there.
func TestArchitecturePage(t *testing.T) {
	root := filepath.Join("..", "..")
	page, err := os.ReadFile(filepath.Join(root, "docs", "architecture.md"))
	if err != nil {
		t.Fatal(err)
	}
	missing := missingReferences(root, string(page))
	for _, m := range missing {
		t.Error(m)
	}
	if len(reference.FindAllString(string(page), -1)) < 20 {
		t.Error("fewer than 20 references: the page or the pattern has changed")
	}
}

// TestMissingReferences: a file that is not there and a function that its file does not have are both found.
func TestMissingReferences(t *testing.T) {
	root := t.TempDir()
	if err := os.WriteFile(filepath.Join(root, "a.go"), []byte("package a\n\nfunc (x *T) There() {}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	missing := missingReferences(root, "`a.go` `There`, `a.go` `Gone`, `b.go`, `a.go`")
	if len(missing) != 2 || !strings.Contains(missing[0], "Gone") || !strings.Contains(missing[1], "b.go") {
		t.Errorf("found %q", missing)
	}
}

// missingReferences lists what a page names and the tree under root does not have.
func missingReferences(root, page string) []string {
	var missing []string
	for _, match := range reference.FindAllStringSubmatch(page, -1) {
		path, function := match[1], match[2]
		text, err := os.ReadFile(filepath.Join(root, path))
		if err != nil {
			missing = append(missing, fmt.Sprintf("%s: %v", path, err))
			continue
		}
		declaration := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + function + `\(`)
		if function != "" && !declaration.Match(text) {
			missing = append(missing, fmt.Sprintf("%s has no function %s", path, function))
		}
	}
	return missing
}
