"""Operations on the settings tree: validate, compare, edit and update it."""
