// Package architecture tests that the module's packages import each other only as docs/architecture.md allows.
package architecture

import (
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const modulePrefix = "lockloom/"

// layers lists the packages by layer, the lowest first. A package must not import a package of a higher layer. A name
// that ends in a slash stands for all packages below it.
var layers = [][]string{
	{"internal/graphcodec", "internal/histogram", "internal/invariant", "internal/pcg", "internal/poller",
		"internal/recvtime", "internal/socket"},
	{"assignment", "balance", "lifecycle", "limits", "routes"},
	{"internal/bootstrap", "internal/config", "internal/settings", "internal/tomlfile"},
	{"internal/admin", "internal/discovery", "internal/discovery/notification", "internal/gossip", "internal/hotrestart",
		"internal/http1", "internal/simwire", "internal/upstream"},
	{"controlplane", "internal/capture", "internal/emulator", "internal/fakeserver", "internal/faultproxy",
		"internal/loadgen", "internal/nginx", "internal/report", "internal/simulation", "proxy"},
	{"internal/cli", "internal/cli/"},
	{"cmd/"},
}

// exceptions are the permitted imports of a higher layer: importer and imported package, with the reason.
var exceptions = map[[2]string]string{
	{"internal/bootstrap", "internal/discovery"}: "the launch file contains an endpoint list in discovery's format",
}

// impure are the packages that make system calls. Packages of the decision layer must not import them.
var impure = []string{"internal/poller", "internal/recvtime", "internal/socket"}

const decisionLayer = 1 // index in layers

// layerOf returns the index in layers of a package, or -1 for a package in no layer, such as a tool that no package
// imports.
func layerOf(path string) int {
	return slices.IndexFunc(layers, func(names []string) bool {
		return slices.ContainsFunc(names, func(name string) bool {
			return path == name || strings.HasSuffix(name, "/") && strings.HasPrefix(path, name)
		})
	})
}

// imports returns the module's packages, each with the packages of the module that it imports outside of its tests.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	command := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "./...")
	command.Dir = "../.."
	printed, err := command.Output()
	require.NoError(t, err)
	packages := map[string][]string{}
	for line := range strings.Lines(string(printed)) {
		words := strings.Fields(line)
		importer := strings.TrimPrefix(words[0], modulePrefix)
		packages[importer] = nil
		for _, word := range words[1:] {
			if imported, own := strings.CutPrefix(word, modulePrefix); own {
				packages[importer] = append(packages[importer], imported)
			}
		}
	}
	return packages
}

func TestImportsNeverPointUp(t *testing.T) {
	packages := imports(t)
	require.Contains(t, packages, "balance")
	used := map[[2]string]bool{}
	for importer, list := range packages {
		for _, imported := range list {
			require.GreaterOrEqual(t, layerOf(imported), 0, "package %s, imported by %s, is in no layer", imported, importer)
			edge := [2]string{importer, imported}
			if _, excepted := exceptions[edge]; excepted {
				used[edge] = true
				continue
			}
			if layer := layerOf(importer); layer >= 0 {
				assert.LessOrEqual(t, layerOf(imported), layer, "package %s imports %s of a higher layer", importer, imported)
			}
			if layerOf(importer) == decisionLayer {
				assert.NotContains(t, impure, imported, "package %s of the decision layer may not make system calls", importer)
			}
		}
	}
	assert.Len(t, used, len(exceptions), "remove the exceptions that no import needs")
}
