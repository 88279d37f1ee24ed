package explore

import (
	_ "embed"

	"pitchfield/internal/defects"
)

//go:embed defects.toml
var defectsText []byte

// Defects are those that have to be found.
func Defects() ([]defects.Defect, error) { return defects.Read(defectsText) }
