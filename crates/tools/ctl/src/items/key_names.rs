//! The names of fields: the file's (`deadline_s`) and the mesh's (`deadlineS`).

/// The file's key and the mesh's for what is a route's kind: the only pair that differs in more than its case.
const ROUTE_KIND: (&str, &str) = ("kind", "routeKind");

/// The mesh's name of a key of the file.
pub(crate) fn mesh_name(file_key: &str) -> String {
    if file_key == ROUTE_KIND.0 {
        return ROUTE_KIND.1.to_string();
    }
    let mut parts = file_key.split('_');
    let mut name = parts.next().unwrap_or_default().to_string();
    for part in parts {
        let mut signs = part.chars();
        name.extend(signs.next().map(|first| first.to_ascii_uppercase()));
        name.push_str(signs.as_str());
    }
    name
}

/// The file's key for a field of the mesh.
pub(crate) fn file_key(mesh_name: &str) -> String {
    if mesh_name == ROUTE_KIND.1 {
        return ROUTE_KIND.0.to_string();
    }
    let mut key = String::new();
    for sign in mesh_name.chars() {
        if sign.is_ascii_uppercase() {
            key.push('_');
        }
        key.push(sign.to_ascii_lowercase());
    }
    key
}
