package confmanager

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"oleanderfall.example/oleanderfall/internal/coordination/confgen"
	"oleanderfall.example/oleanderfall/internal/protocol/objectapi"
	"oleanderfall.example/oleanderfall/internal/protocol/settings"
	"oleanderfall.example/oleanderfall/internal/state/confstore"
	"oleanderfall.example/oleanderfall/internal/state/model"
)

// chunkBytes is the maximum size of one content object.
const chunkBytes = 768 << 10

// storage reads and writes configuration generations in the object API.
type storage struct {
	api objectapi.API
}

// readRoot returns the root and its object version; both are zero before the first change.
func (s storage) readRoot(ctx context.Context) (confstore.Root, uint64, error) {
	o, err := s.api.Get(ctx, confgen.RootKey)
	if errors.Is(err, objectapi.ErrNotFound) {
		return confstore.Root{}, 0, nil
	}
	if err != nil {
		return confstore.Root{}, 0, Error.Wrap(err)
	}
	root, err := decodeRoot(o.Value)
	return root, o.Version, err
}

func decodeRoot(value []byte) (confstore.Root, error) {
	var root confstore.Root
	err := json.Unmarshal(value, &root)
	return root, Error.Wrap(err)
}

// readGeneration reads and verifies the content of one generation.
func (s storage) readGeneration(ctx context.Context, g model.Generation, digest string, chunks int) (confstore.Snapshot, error) {
	var packed []byte
	for i := range chunks {
		o, err := s.api.Get(ctx, confgen.ContentKey(g, digest, i))
		if err != nil {
			return confstore.Snapshot{}, Error.Wrap(err)
		}
		packed = append(packed, o.Value...)
	}
	return unpack(g, digest, packed)
}

// readAllChunks reads a generation whose number of chunks is not known: it reads until the
// first missing chunk.
func (s storage) readAllChunks(ctx context.Context, g model.Generation, digest string) (confstore.Snapshot, error) {
	var packed []byte
	for i := 0; ; i++ {
		o, err := s.api.Get(ctx, confgen.ContentKey(g, digest, i))
		if errors.Is(err, objectapi.ErrNotFound) && i > 0 {
			return unpack(g, digest, packed)
		}
		if err != nil {
			return confstore.Snapshot{}, Error.Wrap(err)
		}
		packed = append(packed, o.Value...)
	}
}

// unpack decodes a generation from its compressed form. It returns an error if the content
// does not match the digest.
func unpack(g model.Generation, digest string, packed []byte) (confstore.Snapshot, error) {
	canonical, err := settings.Unpack(packed, digest)
	if err != nil {
		return confstore.Snapshot{}, Error.Wrap(err)
	}
	config, err := settings.DecodeConfig(canonical)
	if err != nil {
		return confstore.Snapshot{}, Error.Wrap(err)
	}
	return confstore.Snapshot{Generation: g, Digest: digest, Packed: packed, Config: config}, nil
}

// putChunk stores one content object. An existing object is kept if it is equal, and
// replaced if it differs, since it is then damaged.
func (s storage) putChunk(ctx context.Context, key string, value []byte) error {
	_, err := s.api.Put(ctx, key, value, 0)
	if !errors.Is(err, objectapi.ErrConflict) {
		return err
	}
	present, err := s.api.Get(ctx, key)
	if err != nil || bytes.Equal(present.Value, value) {
		return err
	}
	_, err = s.api.Put(ctx, key, value, present.Version)
	return err
}

// split divides the compressed form into chunks of at most chunkBytes.
func split(packed []byte) [][]byte {
	var out [][]byte
	for len(packed) > chunkBytes {
		out = append(out, packed[:chunkBytes])
		packed = packed[chunkBytes:]
	}
	return append(out, packed)
}

// deleteGarbage deletes the content that no reader needs and returns the number of deleted
// objects.
func (s storage) deleteGarbage(ctx context.Context, root confstore.Root) (int, error) {
	versions := map[string]uint64{}
	var keys []string
	for after := ""; ; {
		page, err := s.api.List(ctx, confgen.ContentPrefix, after, garbagePageSize)
		if err != nil {
			return 0, Error.Wrap(err)
		}
		for _, o := range page.Objects {
			versions[o.Key] = o.Version
			keys = append(keys, o.Key)
			after = o.Key
		}
		if !page.More || len(page.Objects) == 0 {
			break
		}
	}
	removed := 0
	for _, key := range confgen.Garbage(root, keys) {
		if err := s.api.Delete(ctx, key, versions[key]); err != nil && !errors.Is(err, objectapi.ErrNotFound) {
			return removed, Error.Wrap(err)
		}
		removed++
	}
	return removed, nil
}

// garbagePageSize is small because a page contains the values of its objects.
const garbagePageSize = 4
