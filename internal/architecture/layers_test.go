// Package architecture holds the structure of the module, as docs/architecture.md describes it.
package architecture

import (
	"os/exec"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const module = "lockloom/"

// layers are the packages from the bottom up: a package imports none of a layer above its own. A name ending in a slash
// stands for all packages below it.
var layers = [][]string{
	{"internal/graphcodec", "internal/histogram", "internal/invariant", "internal/pcg", "internal/poller",
		"internal/recvtime"},
	{"assignment", "balance", "lifecycle", "limits", "routes"},
	{"internal/bootstrap", "internal/config", "internal/settings", "internal/tomlfile"},
	{"internal/admin", "internal/discovery", "internal/discovery/notification", "internal/gossip", "internal/hotrestart",
		"internal/http1", "internal/simwire", "internal/upstream"},
	{"controlplane", "internal/capture", "internal/emulator", "internal/fakeserver", "internal/faultproxy",
		"internal/loadgen", "internal/nginx", "internal/report", "internal/simulation", "proxy"},
	{"internal/cli", "internal/cli/"},
	{"cmd/"},
}

// exceptions are imports that point up, by importer and imported.
var exceptions = map[[2]string]string{
	{"internal/bootstrap", "internal/discovery"}: "the launch file holds an endpoint list in discovery's form",
}

// impure are packages that make system calls, which no decision may import.
var impure = []string{"internal/poller", "internal/recvtime"}

const decisionLayer = 1

// layerOf is the layer of a package, or -1 for one of none: tools that nothing imports.
func layerOf(path string) int {
	return slices.IndexFunc(layers, func(names []string) bool {
		return slices.ContainsFunc(names, func(name string) bool {
			return path == name || strings.HasSuffix(name, "/") && strings.HasPrefix(path, name)
		})
	})
}

// imports are the module's packages with what each imports of the module, tests left out.
func imports(t *testing.T) map[string][]string {
	t.Helper()
	command := exec.Command("go", "list", "-f", "{{.ImportPath}} {{join .Imports \" \"}}", "./...")
	command.Dir = "../.."
	printed, err := command.Output()
	require.NoError(t, err)
	packages := map[string][]string{}
	for line := range strings.Lines(string(printed)) {
		words := strings.Fields(line)
		importer := strings.TrimPrefix(words[0], module)
		packages[importer] = nil
		for _, word := range words[1:] {
			if imported, own := strings.CutPrefix(word, module); own {
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
			require.GreaterOrEqual(t, layerOf(imported), 0, "%s, which %s imports, has no layer", imported, importer)
			edge := [2]string{importer, imported}
			if _, excepted := exceptions[edge]; excepted {
				used[edge] = true
				continue
			}
			if layer := layerOf(importer); layer >= 0 {
				assert.LessOrEqual(t, layerOf(imported), layer, "%s imports %s", importer, imported)
			}
			if layerOf(importer) == decisionLayer {
				assert.NotContains(t, impure, imported, "%s decides, without system calls", importer)
			}
		}
	}
	assert.Len(t, used, len(exceptions), "every exception is still needed")
}
