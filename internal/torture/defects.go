package torture

import (
	_ "embed"

	"pitchfield/internal/defects"
)

//go:embed defects.toml
var defectsText []byte

// Defects returns the defects that the checker has to find.
func Defects() ([]defects.Defect, error) { return defects.Read(defectsText) }
