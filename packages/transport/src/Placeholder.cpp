// Placeholder translation unit until the package's first source lands.
