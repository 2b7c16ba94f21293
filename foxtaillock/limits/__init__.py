"""Upper limits of teams, held by recorded grants, and shares."""
