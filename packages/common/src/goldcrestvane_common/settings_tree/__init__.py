"""Operations on the settings tree: check, compare, edit and change it."""
