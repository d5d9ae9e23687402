package confgen

import (
	"fmt"
	"strings"

	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// Object API keys of the configuration.
const (
	RootKey       = "config/root"
	ContentPrefix = "config/content/"
)

// KeptGenerations is the number of newest generations whose content is kept.
const KeptGenerations = 16

// digestPrefixLen is the number of digest characters in a content key.
const digestPrefixLen = 32

// ContentKey returns the key of one chunk of a generation's content. Concurrent changes
// that compete for the same generation use different keys, since their digests differ.
func ContentKey(g model.Generation, digest string, chunk int) string {
	return fmt.Sprintf("%s%012d-%s/%03d", ContentPrefix, g, digest[:min(len(digest), digestPrefixLen)], chunk)
}

// Garbage returns the content keys that no reader needs: content of old generations and
// of changes that were not accepted. Content of generations above the root's is kept,
// since it may belong to a commit in progress.
func Garbage(root confstore.Root, keys []string) []string {
	kept := map[string]bool{}
	for _, c := range root.History {
		if c.Generation+KeptGenerations > root.Generation {
			kept[contentFolder(c.Generation, c.Digest)] = true
		}
	}
	var out []string
	for _, key := range keys {
		folder, _, ok := strings.Cut(strings.TrimPrefix(key, ContentPrefix), "/")
		var g model.Generation
		if _, err := fmt.Sscanf(folder, "%d-", &g); !ok || err != nil {
			continue
		}
		if g <= root.Generation && !kept[folder] {
			out = append(out, key)
		}
	}
	return out
}

func contentFolder(g model.Generation, digest string) string {
	folder, _, _ := strings.Cut(strings.TrimPrefix(ContentKey(g, digest, 0), ContentPrefix), "/")
	return folder
}
